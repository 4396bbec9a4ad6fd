Feature: A load peak beyond the capacity is met by early and correct refusals

  Scenario Outline: The rate of requests rises above the capacity for a short time
    Given 10 backend servers that neighbours slow down five times in a quarter of the time
    When requests rise from 100 to 700 a second and fall again, seed <seed>
    Then more requests are answered within the target than with least in flight
    And nothing that was refused has run
    And no caller waits longer than 130 ms for a refusal
    And fewer requests end without an answer than with least in flight

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
