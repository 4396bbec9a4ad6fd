Feature: A crest beyond the capacity is met by early and true refusals

  Scenario Outline: Vans start together
    Given 10 backend servers whose neighbours slow each five times in a quarter of the time
    When requests rise from 100 to 700 a second and fall again, seed <seed>
    Then more requests are answered within the target than by least in flight
    And what is refused was not run
    And nobody waits longer than 130 ms for a refusal
    And fewer requests end without an answer than by least in flight

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
