Feature: An idle daemon wakes up rarely, and a busy one at once

  # Each of 312 daemons woke 60 times a second, of which it had work in a few.
  Scenario: Ticks of an idle daemon are rarer
    Given a timer every 0.02 s that is due every 0.06 s while idle
    When 1.2 s go by on the timers' clock while it is idle
    Then it was called 19 to 21 times, with at most 0.07 s between the calls

  Scenario: Work that arrives in an idle daemon shortens the wait
    Given a timer every 0.02 s that is due every 0.06 s while idle
    When 1.2 s go by on the timers' clock while it is idle
    And work arrives right after a call
    Then its next calls come after at most 0.02 s each, and none is made twice

  Scenario: Ticks of an idle daemon, its log and its probes share wake-ups
    Given the timers of an idle daemon
    Then it wakes up at most 18 times in a second
