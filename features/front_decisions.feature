Feature: Decisions of a daemon that follows a keyed store

  Scenario: The highest version is in force, whatever is read last
    Given a daemon with version 13 in force
    When version 9 is read
    Then version 13 is in force

  Scenario: The newest entry of a backend server counts, in any order
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When i-1 reports at 8 that it is leaving
    And the entry of i-1 at 7 is read late
    Then only i-2 may get work

  Scenario: A removed entry takes effect at once while the store is available
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When the entry of i-1 is removed at 9
    Then only i-2 may get work

  Scenario: Entries that lapsed while the store was unavailable get time to return
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When the store was unavailable and answers again
    And the entry of i-1 is removed at 9
    Then i-1 and i-2 may get work
    When 2.5 s pass
    Then only i-2 may get work

  Scenario: An entry that returned in time stays
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When the store was unavailable and answers again
    And the entry of i-1 is removed at 9
    And i-1 is read again at 11
    And 2.5 s pass
    Then i-1 and i-2 may get work

  Scenario: A restart under the same name clears earlier failures
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    And i-1 failed often
    When i-1 is read again at 11 with a later start
    Then no failures are recorded for i-1

  Scenario: Split shares hold over short spans
    Given a daemon whose split route sends 90 in 100 to a and 10 to b
    When 100 requests of the split route arrive
    Then between 88 and 92 of them went to a

  Scenario Outline: A request is only sent again where it did not run or may run twice
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When a <method> is dispatched and <outcome>
    Then the request is <end>

    Examples:
      | method | outcome                                  | end                       |
      | write  | its connection breaks after it was sent  | answered 502              |
      | write  | its connection breaks before it was sent | dispatched again          |
      | write  | its backend server says not executed     | dispatched again          |
      | write  | its backend server answers 500           | passed on                 |
      | read   | its connection breaks after it was sent  | dispatched again          |
      | read   | its backend server answers 500           | dispatched again          |

  Scenario: Further attempts stay within the budget, rejected ones included
    Given a daemon with 10 entries
    When 200 reads are all rejected by backend servers that are not full
    Then at most 42 of them were dispatched again
    And all refusals carry a retry time of at most a third of the time limit

  Scenario: A request goes to no more backend servers than its route allows
    Given a daemon with 10 entries
    When a read fails at each backend server that it is sent to
    Then it reached 2 backend servers

  Scenario: A caller that disconnects cancels its read but not its write
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When the callers of a read and a write disconnect after the dispatch
    Then the read is cancelled and the write is not

  Scenario: Callers refused together get different retry times
    Given a daemon with no entries
    When 16 reads arrive at once
    Then each is refused with 503 at once
    And their retry times differ by at least 50 ms

  Scenario: One daemon of a zone reads the registry, and another when it falls silent
    Given 3 daemons of a zone that exchange heartbeats
    When 10 s pass with updates reaching all
    Then one of them read the registry, between 14 and 18 times
    When the reader falls silent
    Then another reads within 1.5 s

  Scenario: Another daemon reads the store when both that rank first fall silent
    Given 6 daemons of a zone that exchange heartbeats
    When 3 s pass with updates reaching all
    And the 2 that rank first fall silent
    Then another reads within 1.5 s

  Scenario: A failing store is not read without pause
    Given 3 daemons of a zone that exchange heartbeats
    When the reads of all fail for 10 s
    Then each read the store at most 2 times a second

  Scenario: Load reports are kept fresh where there are requests and rarely requested elsewhere
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When 2 s pass without requests
    Then each backend server was probed at most 3 times
    When 2 s pass with 10 requests a second
    Then each backend server was probed between 20 and 52 times

  Scenario: Random schedules of outcomes, entries and configurations violate no guarantee
    When 400 random schedules are run, from seed 1
    Then no write is sent twice or wrongly refused as not run, and no other guarantee is violated

  Scenario: A waiting call is decided again although no message arrives
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    And every backend server reported that its neighbours slow it five times
    When a read arrives and only time passes, for 120 ms
    Then it was dispatched

  Scenario: A backend server that joins gets work, also when few requests come
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When a read is answered every 200 ms for 4 s, then i-3 joins at 9
    Then i-3 gets one of the reads of the next 3 s

  Scenario: A read that ran and cannot be sent again is not refused as not run
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When a read is answered 500, sent again and rejected there
    Then it is refused with 502 and an unknown outcome

  Scenario: An answer is relayed where no time remains for another attempt
    Given a daemon with the entries i-1 at 5 and i-2 at 6
    When a read is answered 504 shortly before its time limit
    Then that answer is relayed

  Scenario: Where the reads of both that rank first fail, another daemon reads in time
    Given 6 daemons of a zone that exchange heartbeats
    When 3 s pass with updates reaching all
    And the reads of the 2 that rank first fail for 10 s
    Then the others read the store at least every 1.9 s

  Scenario Outline: Heartbeats between zones do not grow with the square of the daemons
    Given a daemon that receives heartbeats of <peers> daemons of other zones
    When <seconds> s pass without a heartbeat of them
    Then it <still> counts them as alive

    Examples:
      | peers | seconds | still    |
      | 10    | 4       | still    |
      | 10    | 5       | no longer |
      | 100   | 30      | still    |
      | 100   | 33      | no longer |

  Scenario: A daemon that starts reads the store once before it has received heartbeats
    Given 6 daemons of a zone that exchange heartbeats
    When all have started and no heartbeat arrives for 0.9 s
    Then each read the store once
