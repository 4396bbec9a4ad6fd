Feature: An entry that is missing gets time to return only where the store was away

  # A daemon that had been cut off took its return for the store's; all daemons then kept using
  # servers whose entries were removed, up to 2.2 s later (review/10, DRAIN).
  Scenario Outline: A removed entry takes effect <when> where <who> could not read
    Given a daemon that hears of each read of the store
    When <who> can't read for <seconds> s, and a peer that could not says that the store is back
    And an entry is removed
    Then its server is removed <when>

    Examples:
      | who       | seconds | when          |
      | the peer  | 5.5     | at once       |
      | the peer  | 1.5     | at once       |
      | the peer  | 60.0    | at once       |
      | everybody | 5.5     | 2.2 s later   |
      | everybody | 3.0     | 2.2 s later   |
      | everybody | 1.9     | at once       |

  Scenario: Peers that return one after the other prolong nothing
    Given a daemon that hears of each read of the store
    When 5 peers return one after the other, 0.4 s apart
    And an entry is removed
    Then its server is removed at once

  Scenario Outline: A daemon whose own reads fail for <seconds> s keeps removed entries <kept>
    Given a daemon that reads the store itself
    When its reads fail for <seconds> s while peers <say>
    And an entry is removed
    Then its server is removed <kept>

    Examples:
      | seconds | say          | kept        |
      | 5.0     | say nothing  | 2.2 s later |
      | 5.0     | read         | at once     |
      | 1.2     | say nothing  | at once     |
