Feature: The real programs keep their promises under random faults from outside them

  Scenario Outline: A short run of seed <seed>
    When the soak runs seed <seed> for 5 seconds
    Then no promise was broken
    And requests were served

    Examples:
      | seed |
      | 101  |
      | 102  |

  Scenario: The checks notice what they are there for
    Given evidence of a write that ran twice, one told 503 that ran and one cut by a planned stop
    And evidence of late work for a leaving backend server and of an older configuration
    Then each of the 5 is told as a broken promise
