Feature: Decisions of a daemon that follows a keyed store

  Scenario: The version decides, whatever is read last
    Given a front with version 13 in force
    When version 9 is read
    Then version 13 is in force

  Scenario: The newest entry of a backend server counts, in any order
    Given a front with the entries i-1 at 5 and i-2 at 6
    When i-1 says at 8 that it leaves
    And the entry of i-1 at 7 is read late
    Then only i-2 may get work

  Scenario: A removed entry is heeded at once while the store is calm
    Given a front with the entries i-1 at 5 and i-2 at 6
    When the entry of i-1 is removed at 9
    Then only i-2 may get work

  Scenario: Entries that lapsed while the store was away get time to come back
    Given a front with the entries i-1 at 5 and i-2 at 6
    When the store was away and returns
    And the entry of i-1 is removed at 9
    Then i-1 and i-2 may get work
    When 2.5 s pass
    Then only i-2 may get work

  Scenario: An entry that came back in time stays
    Given a front with the entries i-1 at 5 and i-2 at 6
    When the store was away and returns
    And the entry of i-1 is removed at 9
    And i-1 is read again at 11
    And 2.5 s pass
    Then i-1 and i-2 may get work

  Scenario: A new start under the same name knows nothing of before
    Given a front with the entries i-1 at 5 and i-2 at 6
    And i-1 failed often
    When i-1 is read again at 11 with a later start
    Then nothing is held against i-1

  Scenario: Split shares hold over short spans
    Given a front whose split route sends 90 in 100 to a and 10 to b
    When 100 requests of the split route come
    Then between 88 and 92 of them went to a

  Scenario Outline: A promise is only given for what has not run
    Given a front with the entries i-1 at 5 and i-2 at 6
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
    Given a front with 10 entries
    When 200 reads are all rejected by backend servers that are not full
    Then at most 42 of them were sent again
    And all that are refused are told when to come back, at most a third of their time later

  Scenario: A request goes to no more backend servers than its route allows
    Given a front with 10 entries
    When a read fails at each backend server that it is sent to
    Then it reached 2 backend servers

  Scenario: A caller that left cancels its read but not its write
    Given a front with the entries i-1 at 5 and i-2 at 6
    When the callers of a read and a write leave after the dispatch
    Then the read is cancelled and the write is not

  Scenario: Callers refused together come back apart
    Given a front with no entries
    When 16 reads come at once
    Then each is refused with 503 at once
    And their times to come back differ by at least 50 ms

  Scenario: One daemon of a zone reads the registry, and another when it falls silent
    Given 3 fronts of a zone that hear each other
    When 10 s pass with news reaching all
    Then one of them read the registry, between 14 and 18 times
    When the reader falls silent
    Then another reads within 1.5 s

  Scenario: Two daemons of a zone wait for a new configuration, others if those fall silent
    Given 6 fronts of a zone that hear each other
    When 3 s pass with news reaching all
    Then 2 of them wait for a new configuration
    When those that wait fall silent
    Then 2 others wait for a new configuration within 2 s

  Scenario: A store that fails is not asked without pause
    Given 3 fronts of a zone that hear each other
    When the reads of all fail for 10 s
    Then the configuration was asked for at most 2 times a second by each

  Scenario: Reports are kept fresh where there are requests and rarely asked for elsewhere
    Given a front with the entries i-1 at 5 and i-2 at 6
    When 2 s pass without requests
    Then each backend server was probed at most 3 times
    When 2 s pass with 10 requests a second
    Then each backend server was probed between 20 and 52 times

  Scenario: Random schedules of outcomes, entries and configurations keep every promise
    When 400 random schedules are run, from seed 1
    Then no write is sent twice or told not run wrongly, and nothing goes where it must not

  Scenario: A call that waits is looked at again though no news come
    Given a front with the entries i-1 at 5 and i-2 at 6
    And every backend server reported that its neighbours slow it five times
    When a read comes and only time passes, for 120 ms
    Then it was dispatched

  Scenario: A backend server that joins gets work, also when few requests come
    Given a front with the entries i-1 at 5 and i-2 at 6
    When a read is answered every 200 ms for 4 s, then i-3 joins at 9
    Then i-3 gets one of the reads of the next 3 s

  Scenario: A read that ran and cannot be sent again is not told not run
    Given a front with the entries i-1 at 5 and i-2 at 6
    When a read is answered 500, sent again and rejected there
    Then it is refused with 502 and an unknown outcome

  Scenario: An answer that is ready is passed on where no time is left for another
    Given a front with the entries i-1 at 5 and i-2 at 6
    When a read is answered 504 shortly before its time limit
    Then that answer is passed on

  Scenario: Where the store turns both readers away, the one that reads in their place waits too
    Given 6 fronts of a zone that hear each other
    When 3 s pass with news reaching all
    Then 2 of them wait for a new configuration
    When the store turns those away for 4 s
    Then 1 or more others wait for a new configuration

  Scenario Outline: Heartbeats between zones do not grow with the square of the daemons
    Given a front that hears <peers> daemons of other zones
    When <seconds> s pass without a word of them
    Then it <still> takes them for alive

    Examples:
      | peers | seconds | still    |
      | 10    | 4       | still    |
      | 10    | 5       | no longer |
      | 100   | 30      | still    |
      | 100   | 33      | no longer |

  Scenario: A daemon that starts does not wait for a configuration before it knows its peers
    Given 6 fronts of a zone that hear each other
    When all have just started and no heartbeat has come
    Then none of them waits for a new configuration
