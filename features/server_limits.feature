Feature: A backend server gets no more requests than the limit that it names

  # The limit in its answers was not read: it got its share of all requests.
  Scenario: Backend servers that name a limit get what it allows, the others the rest
    Given the platform with 3 backend servers and 2 daemons
    When 8 callers send requests without pause
    And i-1 and i-2 name a limit of 2 requests a second for 8 s
    Then each of them got at most 17 requests in any 4 s from 0.5 s after that
    And each of them got 10 requests or more in these 8 s
    When they name none
    Then each of them gets more than 17 requests in 4 s, within 15 s
    And every request was answered by a backend server

  # Each zone's owner grants slots of all backend servers.
  Scenario Outline: Limits hold over several zones, and are used
    Given 3 zones of 4 daemons under 60 requests a second, with 6 backend servers
    When <limited> of the servers name 6 requests a second, and answers to probes <do> so too
    And <trouble>
    Then no limited server got more than the platform allows
    And each limited server got at least <share> in 100 of its limit
    And nothing that was refused as not run has run

    Examples: the pool and the trouble
      | limited | do     | trouble                                   | share |
      | 3       | do     | nothing else happens                      | 50    |
      | 3       | do not | nothing else happens                      | 50    |
      | 6       | do     | nothing else happens                      | 80    |
      | 6       | do     | 10 in 100 datagrams are lost              | 60    |
      | 3       | do not | 10 in 100 datagrams are lost              | 50    |
      | 4       | do     | all owners are killed after 6 s           | 50    |

  # Owners that were passed over for lost datagrams each took the whole limit; what one zone
  # had not heard of ended a limit in the others.
  Scenario: Random loads, limits, lost datagrams and killed owners
    When 20 random loads of limited servers are run, from seed 80
    Then no limited server got more than the platform allows in any of them

  Scenario Outline: What is no limit changes nothing
    Given a daemon that a backend server told to send it 5 requests a second
    When an answer has the limit headers <values>
    Then the limit is <limit>

    Examples: headers
      | values            | limit |
      | 7.5               | 7.5   |
      | 0                 | 0     |
      | -1                | 5     |
      | nan               | 5     |
      | inf               | 5     |
      | 1e3               | 5     |
      | 5, 6              | 5     |
      | 3 and 4           | 5     |
      | 99999999999999999 | 5     |
      | x                 | 5     |
      | none              | none  |

  Scenario: A new run of a backend server has no limit of the earlier one
    Given a daemon that a backend server told to send it 5 requests a second
    When the server registers again as a new run
    Then the limit is none

  Scenario: Probes that never name a limit do not end it
    Given a daemon that a backend server told to send it 5 requests a second
    When a probe's answer names no limit
    Then the limit is 5

  Scenario: Probes that named a limit end it
    Given a daemon that a backend server told to send it 5 requests a second
    When a probe's answer names 6 requests a second
    Then the limit is 6
    When a probe's answer names no limit
    Then the limit is none

  Scenario: A call that the limits leave no room for is refused at once
    Given a daemon that a backend server told to send it 0 requests a second
    When a read is sent after the server got its last request
    Then it is refused at once with a time to retry
