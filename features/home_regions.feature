Feature: Requests of a route or an organisation stay in its home regions

  # Zones: north and east of region one, south of region two, west of a region that no setting names.
  Scenario Outline: Requests reach only servers in the home regions, or are refused at once
    Given a daemon with a free server in each of north, east, south and west
    And a route with the homes <route> and an organisation with the homes <organisation>
    When <what> and 8 requests of the organisation arrive
    Then these calls are <outcome>

    Examples: homes
      | route    | organisation | what                | outcome                                |
      | none     | none         | nothing happens     | sent to i-north, i-east, i-south, i-west |
      | one      | none         | nothing happens     | sent to i-north, i-east                |
      | none     | two          | nothing happens     | sent to i-south                        |
      | one, two | two          | nothing happens     | sent to i-south                        |
      | one      | two          | nothing happens     | refused with no_server                 |
      | three    | none         | nothing happens     | refused with no_server                 |
      | none     | two          | south is full       | refused with overloaded                |
      | two      | none         | south is full       | refused with overloaded                |
      | none     | two          | south is evacuated  | refused with no_server                 |
      | one      | none         | north is evacuated  | sent to i-east                         |

  Scenario: A request without capacity at home holds up no other
    Given a daemon with a free server in each of north, east, south and west
    And a route with the homes none and an organisation with the homes two
    When south is full and 8 requests of the organisation arrive
    Then these calls are refused with overloaded
    And a request of another organisation is sent elsewhere

  Scenario: An owner keeps the homes of other daemons' calls, and grants outside them are not used
    Given a daemon with a free server in each of north, east, south and west
    And a route with the homes none and an organisation with the homes two
    Then a slot request of another daemon with that organisation gets i-south
    And a grant of i-north for a call of that organisation is not used
