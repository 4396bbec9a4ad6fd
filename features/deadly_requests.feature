Feature: A request that ends the backend servers which run it is not sent on and on

  # One request ended server after server: each attempt of its callers went to another daemon,
  # which sent it to the next server.
  Scenario: A deadly write ends at most three servers, whichever daemon it comes to
    Given the platform with 6 backend servers and 3 daemons
    When a deadly write comes 12 times, 0.1 s apart, to each daemon in turn
    Then at most 3 backend servers ended
    And the last 8 of its attempts were refused as not run, with the time at which to retry
    And a deadly write with another body is not refused before it ended a server
    When the operator clears the deadly write at front-2
    Then front-1 sends it again within 2 s

  Scenario: A daemon that starts later knows what ends servers
    Given the platform with 6 backend servers and 3 daemons
    When a deadly write comes 4 times, 0.1 s apart, to each daemon in turn
    And front-1 is started again
    Then a deadly write through front-1 is refused and ends no server

  # A daemon that starts without the store greets nobody; it serves with what it requests of peers.
  Scenario: A daemon that starts while the store is down knows what ends servers
    Given the platform with 6 backend servers and 3 daemons
    When a deadly write comes 4 times, 0.1 s apart, to each daemon in turn
    And the store goes down and front-1 is killed and started again
    Then a deadly write through front-1 is refused and ends no server

  Scenario: Servers that end by themselves beside many equal requests lead to no refusal
    Given the platform with 6 backend servers and 3 daemons
    When 12 callers send the same request without pause while 4 servers end, 0.4 s apart
    Then no request was refused for servers that ended

  Scenario: Two servers that end under one request alone are enough
    Given a daemon with 5 backend servers
    When a server ends while it has request X
    Then request X is sent to a server when it comes again
    When a server ends while it has request X
    Then request X is refused at once with a retry time of about 60 s, and request Y is not
    And the log names both servers and how long request X is refused

  Scenario: A read that ended a server is not told as not run when its next attempt is refused
    Given a daemon with 5 backend servers
    When a server ends while it has request X, and another before the answer to a read with X
    Then that read is answered 502 and not dispatched again

  Scenario: A request that is answered between two ends is no suspect
    Given a daemon with 5 backend servers
    When a server ends while it has request X
    And request X is answered with 500
    And a server ends while it has request X
    Then request X is sent to a server when it comes again

  Scenario Outline: Connections that break are no evidence by themselves
    Given a daemon with 5 backend servers
    When 6 connections break under request X, and then <what>
    Then request X is sent to a server when it comes again

    Examples: what the servers do afterwards
      | what                                        |
      | the servers answer a probe                  |
      | probes get no answer                        |
      | nothing listens 1.2 s later                 |
      | the servers leave and nothing listens       |
      | the servers' entries go and nothing listens |

  # Requests that were beside it at both servers look the same until a third server ends.
  Scenario: Requests that shared both servers wait for a third end
    Given a daemon with 5 backend servers
    When 2 servers end, each while it has the requests X and Y
    Then request X is sent to a server when it comes again
    And request Y is sent to a server when it comes again
    When a server ends while it has request X
    Then request X is refused at once with a retry time of about 120 s, and request Y is not

  Scenario: A refusal ends, and the next server that ends brings a longer one
    Given a daemon with 5 backend servers
    When a server ends while it has request X
    And a server ends while it has request X
    And 61 s go by at the daemon
    Then request X is sent to a server when it comes again
    When a server ends while it has request X
    Then request X is refused at once with a retry time of about 120 s, and request Y is not

  Scenario: A call that waits for a server is refused when its request turns out to end servers
    Given a daemon with 5 backend servers
    When a server ends while it has request X
    And request X waits since all servers are busy, and a server ends while it has request X
    Then the waiting call is refused at once

  Scenario: What daemons saw one each is enough, in whatever order and however often it is told
    Given 3 daemons with 5 backend servers, of which two saw a server each end under request X
    When each sends the others what it knows, the first update is lost and all others come twice
    Then request X is refused at once by all
    When request X is answered at one of them after its refusal, and all send what they know again
    Then request X is suspected by none of them

  # A daemon that was cut off while the others learned it would have let two more servers end.
  Scenario: A daemon that missed all updates is reminded, of what is cleared too
    Given a daemon with 5 backend servers and a peer that hears nothing of it
    When a server ends while it has request X
    And a server ends while it has request X
    And the peer can be reached again and is reminded
    Then the peer refuses request X
    When 61 s go by at both and request X is answered at the daemon
    And the peer is reminded again
    Then request X is suspected by neither

  Scenario: What is known stays bounded
    Given a daemon with 5 backend servers
    When a server's connections break under 1000000 requests and 5000 of them end a server each
    Then at most 1024 suspects and 256 broken connections of a server are known

  Scenario Outline: The same request has the same identity, and any other has another one
    When <one> and <other> are read from callers
    Then their identities are <relation>

    Examples: requests
      | one                   | other                     | relation |
      | GET /a?b=1            | GET /a?b=1                | equal    |
      | GET /a?b=1            | GET /a?b=2                | unequal  |
      | GET /a?b=1            | HEAD /a?b=1               | unequal  |
      | POST /a with x        | POST /a with x            | equal    |
      | POST /a with x        | POST /a with y            | unequal  |
      | GET /a at one.example | GET /a at two.example     | unequal  |
      | GET /a of user-1      | GET /a of user-2          | unequal  |
      | GET /a of user-1      | GET /a of user-1          | equal    |
