Feature: A keyed request runs at most once, with real processes

  Scenario: The daemon that holds a key is killed while it runs, and the caller retries elsewhere
    Given a system of 3 daemons and 2 backend servers
    When a write of 1500 ms through entry-2 has its holder entry-1 killed in the middle
    Then the caller received holder_silent with outcome unknown
    And retries through every live daemon do not run the key again

  Scenario: The platform's list shows the killed holder as gone, and others take its keys over
    Given a system of 3 daemons and 2 backend servers
    When entry-1 is killed and listed as gone
    Then within 5 seconds every range has a holder again
    And a time-ordered key made now for a range of entry-1 is run once
    And a random key for a range of entry-1 is refused with key_history_unknown

  Scenario: The holder is frozen before it dispatches and thawed after its lease has lapsed
    Given a system of 3 daemons with leases of 4 seconds and 2 backend servers
    When entry-1 is frozen as a write for its key arrives through entry-2 and thawed after 8 seconds
    Then the key ran at most once and retries do not run it again

  Scenario: A write that waited unread in a frozen daemon is refused as not run
    Given a system of 1 daemons and 1 backend servers
    When entry-1 is frozen, a write is sent to it, and it is thawed after 2 seconds
    Then the write is refused with stale and nothing ran

  Scenario: The same key through all daemons at once runs once and all get the same answer
    Given a system of 3 daemons and 2 backend servers
    When one key is sent 4 times through every daemon at the same moment
    Then all answers are the same and the key ran once

  Scenario: Keyed writes continue while the log is down for longer than leases are renewed
    Given a system of 3 daemons and 2 backend servers
    When the log is down and 30 keyed writes go through all daemons
    Then 30 of them ran once and were answered

  Scenario: One daemon is killed while the log is down
    Given a system of 3 daemons and 2 backend servers
    When the log is down, entry-3 is killed and 60 keyed writes go through the others
    Then no key ran twice and every write whose holder lives was answered
    And the writes whose holder is dead were refused as not run in this attempt

  Scenario: Answers of the log are lost while leases are claimed
    Given a platform whose log loses the next 6 answers
    When 3 daemons and 2 backend servers are started on it
    Then within 15 seconds every range has one holder
    And 20 keyed writes through all daemons run once each

  Scenario: A key that is reused for another request is refused
    Given a system of 2 daemons and 1 backend servers
    When a key is used for one body and then for another
    Then the second is refused with key_conflict and outcome attempt-not-run

  Scenario: A keyed write whose backend server never answers does not stay open for ever
    Given a system of 1 daemons and 1 backend servers
    When a keyed write with a limit of 300 ms goes to a backend server that takes a minute
    Then the caller received deadline_exceeded with outcome unknown
    And after 12 seconds nothing is in progress and a repeat gets unknown at once
