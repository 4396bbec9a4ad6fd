Feature: What backend servers state of themselves in their answers is kept

  # Only the store's entry told that a server leaves; the header in its answers was not read.
  Scenario: A backend server that says that it leaves gets nothing after its drain time
    Given the platform with 3 backend servers and 2 daemons
    When 8 callers send requests without pause
    And the store falls silent and i-1 says in its answers that it leaves
    And 4 seconds go by
    Then i-1 got no request later than 2 s after that
    And every request was answered by a backend server

  # The time in a refusal was not read: the servers were asked again with the next requests.
  Scenario: Backend servers that want nothing for a time get nothing
    Given the platform with 2 backend servers and 2 daemons
    When 8 callers send requests without pause
    And both servers turn requests away and want nothing for 3 s
    And 5 seconds go by
    Then each daemon sent each at most 2 requests from 0.5 s after the first refusal to its end
    And requests were refused at once with a time to retry meanwhile
    When both servers take requests again
    Then requests are answered by both within 3 s

  Scenario: The owner grants a server that one daemon must not use to the others only
    Given two daemons of which this one owns the service, and one backend server
    When the other tells that the server wants nothing from it for 2 s
    And both have a read
    Then this daemon's read is dispatched and the other's is refused with a time to retry
    When 2.1 s have gone by and the other has a read
    Then the other's read is granted the server

  Scenario: Random loads of servers that leave, pause and name limits
    When 20 random loads of such servers are run, from seed 1
    Then no server was sent to after its drain time or in a pause that a daemon was told of

  Scenario Outline: Only a refusal's own time pauses, and fractions count
    Given a daemon that knows the first run of i-1
    When its request is answered <status> with the retry time <value>
    Then i-1 <is> used 0.4 s later

    Examples: answers
      | status | value | is     |
      | 503    | 0.5   | is not |
      | 503    | 0.3   | is     |
      | 503    | 7     | is not |
      | 503    | soon  | is     |
      | 503    | -1    | is     |
      | 500    | 7     | is     |

  Scenario: What an earlier run stated does not bind the next one
    Given a daemon that knows the first run of i-1
    When a peer tells that the first run leaves and takes 1 request a second
    Then i-1 gets no new requests
    When i-1 registers as its second run
    And a peer tells that the first run leaves and takes 1 request a second
    Then i-1 may get requests, without a limit
