Feature: The real programs keep their guarantees under random faults

  Scenario Outline: A short run of seed <seed>
    When the soak runs seed <seed> for 5 seconds
    Then no guarantee was violated
    And requests were served

    Examples:
      | seed |
      | 101  |
      | 102  |

  Scenario: The checks detect each kind of violation
    Given evidence of a write run twice, one refused with 503 that ran and one cut by a planned stop
    And evidence of late work for a leaving backend server and of an older configuration
    And evidence of a write that waited until a planned stop and got no answer
    Then each of the 6 is reported as a violated guarantee
