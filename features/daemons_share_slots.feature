Feature: Many daemons of a zone give out the slots of a service as one does

  Scenario Outline: A wave of requests spread over many daemons
    Given 6 backend servers and a wave around 50 requests a second, seed <seed>
    When <daemons> daemons of a zone serve it with granted slots
    Then at least 90 in 100 of what one daemon alone answers within the target are
    And at most 2 in 100 requests find their backend server full

    Examples:
      | seed | daemons |
      | 1    | 6       |
      | 2    | 30      |

  Scenario Outline: A crest beyond the capacity, spread over many daemons
    Given 6 backend servers and a wave around 90 requests a second, seed <seed>
    When <daemons> daemons of a zone serve it with granted slots
    Then more requests are answered within the target than where each daemon chooses
    And fewer of them find their backend server full
    And nothing that was told not run has run

    Examples:
      | seed | daemons |
      | 1    | 6       |
      | 2    | 30      |

  Scenario: Datagrams are lost
    Given 6 backend servers and a wave around 50 requests a second, seed 3
    When 6 daemons of a zone serve it with granted slots and 5 in 100 datagrams are lost
    Then at least 90 in 100 of what one daemon alone answers within the target are
    And nothing that was told not run has run

  Scenario: An owner that does not answer is passed over
    Given two fronts of which the other owns the service
    When a read comes and the owner is silent
    Then it is dispatched within 300 ms
    And the next read is not asked of that owner

  Scenario: A write whose caller left while it waited at the owner is never sent
    Given two fronts of which the other owns the service
    When a write comes, its caller leaves and the grant arrives after that
    Then the write is not dispatched and the owner is told

  Scenario: A grant for a backend server that leaves is not used
    Given two fronts of which the other owns the service
    When a read comes and is granted a backend server that has said it leaves
    Then the owner is asked for another one

  Scenario: A question that is repeated takes one slot
    Given two fronts of which the other owns the service
    When the owner hears the same question three times
    Then it grants the same slot each time and counts one request

  Scenario: An owner that does not know the route yet does not refuse the caller
    Given two fronts of which the other owns the service
    When a read comes and the owner says that it knows no such route
    Then it is dispatched within 300 ms

  Scenario: Random schedules of lost, late and repeated datagrams, pauses and restarts
    When 200 random schedules of three daemons that grant slots are run, from seed 1
    Then no write is sent twice or told not run wrongly, and no call is left behind

  Scenario: A daemon that knows no backend server does not grant slots
    Given two fronts of which the other owns the service
    When the owner says that it knows no backend server
    Then the next read is dispatched without a question

  Scenario: The explanation of a route names the daemon that grants its slots
    Given two fronts of which the other owns the service
    When each explains where a read would go
    Then both name that owner
