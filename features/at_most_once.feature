Feature: A keyed request runs at most once, and "not run" is true

  # Each schedule draws freezes, kills, restarts, outages of the log, cuts between
  # daemons, skewed clocks, lost answers and callers that retry through any daemon.

  Scenario: No key runs twice and no "not run" is false in random schedules
    Given 150 random schedules from seed 0
    When they are run on the decision core
    Then no key ran twice, no reported outcome was false and nothing started late
    And more than half of the keys ran

  Scenario: The checks detect that a key has no single holder
    Given 5 random schedules from seed 0 without the single holder
    When they are run on the decision core
    Then a fault is found

  Scenario: The checks detect that a new holder ignores what earlier ones may have run
    Given 60 random schedules from seed 0 without the earlier holders' history
    When they are run on the decision core
    Then a fault is found

  Scenario: The checks detect that backend servers ignore the latest time to start
    Given 20 random schedules from seed 0 without the latest time to start
    When they are run on the decision core
    Then a fault is found

  Scenario: A request whose time limit passes as a slot is freed is not dispatched
    Given a daemon with one slot in use and a second request that waits for it
    When both time limits pass in the same tick
    Then the second request is refused with deadline_passed and is not dispatched
