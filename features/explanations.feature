Feature: An operator asks a daemon where a request would go, without sending it

  Scenario Outline: The explanation names the decision and why servers are passed over
    Given a daemon with the servers i-1 and i-2 in north and i-3 in south
    When <what> and a read is explained
    Then the result is <result>, and of <server> it says: <obstacle>

    Examples: what happened before
      | what                           | result            | server | obstacle                        |
      | nothing happens                | sent              | i-3    | nothing                         |
      | north is evacuated             | sent              | i-1    | its zone is evacuated           |
      | i-2 leaves                     | sent              | i-2    | it is leaving (operator)        |
      | i-2 wants a pause              | sent              | i-2    | wants no requests               |
      | i-2 states the limit 0         | sent              | i-2    | its limit of 0 requests         |
      | i-2 is full                    | sent              | i-2    | no slot is free                 |
      | all are full                   | waits             | i-1    | no slot is free                 |
      | both zones are evacuated       | refused no_server | i-3    | its zone is evacuated           |
      | an unknown path is asked for   | refused no_route  | none   | nothing                         |
      | a peer owns the queue          | front-2 decides   | i-1    | nothing                         |

  Scenario: An explanation has no effect, and says what is then decided
    Given 60 random states of a daemon in each of which a read is explained
    Then the daemon's state is the same after it
    And the same read is then sent to a server that the explanation had no obstacle for, or refused with its code

  Scenario: The command shows it for people and as JSON, and sends no credential
    Given the platform with organisations and 2 daemons
    When dotterelgate explains a request of the organisation one at front-1
    Then it shows the route, the organisation and both servers, one of them chosen
    And the JSON document has the same
    And nothing was sent, and no credential stands in a log, in the metrics or in the status of a daemon
