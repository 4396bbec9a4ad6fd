Feature: The commands validate their input and report what is wrong

  Scenario Outline: Settings with <mistake> are refused with one clear line
    Given settings with <mistake>
    When dotterelgated checks them
    Then it exits with 2 and one line that names the file and <key>

    Examples:
      | mistake              | key          |
      | a missing name       | name         |
      | a host name          | callers      |
      | a negative interval  | log_poll     |
      | an unknown key       | colour       |
      | a lease of a day     | lease_length |

  Scenario: Valid settings are accepted
    Given settings with nothing wrong
    When dotterelgated checks them
    Then it exits with 0

  # An operator who changed the settings of a daemon that had just been started ended it.
  Scenario Outline: SIGHUP while <program> imports its modules doesn't end it
    When <program> gets SIGHUP as it imports its first module of the project
    Then it goes on to report that it has no settings

    Examples:
      | program                  |
      | platform/dotterelgated.py |
      | dotterelgated             |

  Scenario Outline: A configuration with <mistake> is refused
    Given a configuration with <mistake>
    When dotterelgate checks it
    Then it exits with 2 and one line that names the file and <key>

    Examples:
      | mistake           | key    |
      | no slots          | slots  |
      | an unknown policy | policy |
      | a name used twice | unique |
      | text for JSON     | JSON   |

  Scenario: The page of result codes matches the code
    Given the page docs/RESULT-CODES.md
    Then every result code is listed on it with its name, status, outcome and meaning
    And numbers and names are unique
