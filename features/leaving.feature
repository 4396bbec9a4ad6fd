Feature: A backend server that is leaving gets no new work after 3 seconds

  Scenario Outline: The sign comes from <source>
    Given a system of 3 daemons and 3 backend servers under load
    When server-1 is leaving, says <source>
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

    Examples:
      | source              |
      | the operator        |
      | the platform        |
      | the server's answer |

  Scenario: The sign is seen by one daemon only and the daemons are cut off from one another
    Given a system of 3 daemons and 3 backend servers under load whose daemons are cut off
    When server-1 is leaving, says the server's answer
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: The list of VMs is down and the server says so itself
    Given a system of 3 daemons and 3 backend servers under load
    When the list of VMs goes down
    And server-1 is leaving, says the server's answer
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: The configuration says that it works and the platform that it leaves
    Given a system of 3 daemons and 3 backend servers under load
    When server-1 is leaving, says the platform
    And a configuration is published in which it works
    And 3 seconds pass
    Then server-1 runs nothing more for 2 seconds while the others do

  Scenario: A backend server that says it works again gets work again
    Given a system of 2 daemons and 2 backend servers under load
    When server-1 is leaving, says the server's answer
    And 3 seconds pass
    And server-1 says that it works again
    Then within 8 seconds server-1 runs requests again
