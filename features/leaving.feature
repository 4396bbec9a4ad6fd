Feature: A backend server that is leaving gets no new work after 3 seconds

  Scenario Outline: The sign comes from <source>
    Given a system of 3 daemons and 3 backend servers under load
    When server-1 is leaving according to <source>
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

    Examples:
      | source              |
      | the operator        |
      | the platform        |
      | the server's answer |

  Scenario: Only one daemon learns that it is leaving and the daemons are cut off from one another
    Given a system of 3 daemons and 3 backend servers under load whose daemons are cut off
    When server-1 is leaving according to the server's answer
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: The list of VMs is down and the backend server reports it itself
    Given a system of 3 daemons and 3 backend servers under load
    When the list of VMs goes down
    And server-1 is leaving according to the server's answer
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: The configuration declares it working and the platform lists it as leaving
    Given a system of 3 daemons and 3 backend servers under load
    When server-1 is leaving according to the platform
    And a configuration is published in which it is not draining
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: A backend server that reports that it works again gets new work
    Given a system of 2 daemons and 2 backend servers under load
    When server-1 is leaving according to the server's answer
    And 3 seconds pass
    And server-1 reports that it works again
    Then within 8 seconds server-1 runs requests again
