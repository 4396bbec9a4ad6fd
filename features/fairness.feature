Feature: No organisation's load takes the slots of another

  # First in, first out, callers that sent as usual were answered as rarely as the organisation
  # whose load peak filled the queue. Requests that can still reach their target go first of
  # whatever organisation, so some of the others that became late are refused as overdue.
  Scenario Outline: One of 81 organisations sends six times its usual rate
    Given 81 organisations that send 65 requests a second usually, seed <seed>
    When the largest sends 6 times as much and <event>
    Then the others are answered within 10 in 100 as often as without that
    And none of the others is refused because too much goes ahead
    And at least 25 in 100 more often than first in, first out
    And nothing that was refused as not run has run

    Examples: seeds
      | seed | event                         |
      | 1    | no daemon fails               |
      | 2    | no daemon fails               |
      | 3    | the owner is killed meanwhile |

  # Equal weights alone served the largest a seventh as often as all.
  Scenario Outline: All 81 organisations together send three times what can be served
    Given 81 organisations that send 290 requests a second usually, seed <seed>
    When they send for 12 seconds
    Then no organisation is answered less than a quarter as often as all

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Organisations of three ranks send more than can be served
    Given 81 organisations that send <rate> requests a second usually, seed 4
    When they send for 12 seconds and every third has a lower rank than the one before
    Then no lower rank is answered more often than a higher one

    Examples: rates
      | rate |
      | 110  |
      | 190  |

  # A queue full of one organisation's requests made the expected wait too long for all others.
  Scenario: The owner's queue is full of one organisation's requests
    Given an owner whose slots are taken
    When another daemon requests slots for one until it is denied
    Then a slot request for two is queued and gets the next slot
    And a slot request for one is denied while two waits

  Scenario Outline: The organisation's priority goes before the route's
    Given an owner whose slots are taken
    When slot requests for one with priority <first> and for two with priority <second> are queued
    Then the next slot goes to <served>

    Examples: priorities
      | first | second | served |
      | 1     | 0      | two    |
      | 0     | 1      | one    |
      | 9     | 2      | one    |
      | -7    | 0      | one    |
      | 2     | -1     | two    |

  Scenario: Without organisations the order is first in, first out
    Then 300 random queues without organisations serve as a plain list does

  # State of every organisation that was ever served would grow with what callers present.
  Scenario: The state of a queue is bounded by what waits
    When 5000 organisations are served one after the other while another one waits
    Then the queue knows fewer than 600 organisations
