Feature: Many daemons of a zone grant the slots of a service as one daemon does

  Scenario Outline: A wave of requests spread over many daemons
    Given 6 backend servers and a wave around 50 requests a second, seed <seed>
    When <daemons> daemons of a zone serve it with granted slots
    Then at least 90 in 100 of what one daemon alone answers within the target are
    And at most 2 in 100 requests find their backend server full

    Examples:
      | seed | daemons |
      | 1    | 6       |
      | 2    | 30      |

  Scenario Outline: A load peak beyond the capacity, spread over many daemons
    Given 6 backend servers and a wave around 90 requests a second, seed <seed>
    When <daemons> daemons of a zone serve it with granted slots
    Then more requests are answered within the target than with the shared queue
    And fewer of them find their backend server full
    And nothing that was refused as not run has run

    Examples:
      | seed | daemons |
      | 1    | 6       |
      | 2    | 30      |

  Scenario: Datagrams are lost
    Given 6 backend servers and a wave around 50 requests a second, seed 3
    When 6 daemons of a zone serve it with granted slots and 5 in 100 datagrams are lost
    Then at least 90 in 100 of what one daemon alone answers within the target are
    And nothing that was refused as not run has run

  Scenario: An owner that does not answer is bypassed
    Given two daemons of which the other owns the service
    When a read arrives and the owner is silent
    Then it is dispatched within 300 ms
    And the next read sends no slot request to that owner

  Scenario: A write whose caller disconnected while it waited at the owner is never sent
    Given two daemons of which the other owns the service
    When a write arrives, its caller disconnects and the grant arrives after that
    Then the write is not dispatched and its slot request is withdrawn

  Scenario: A grant for a leaving backend server is not used
    Given two daemons of which the other owns the service
    When a read arrives and is granted a backend server that is leaving
    Then a slot of another backend server is requested

  Scenario: A slot request that is repeated takes one slot
    Given two daemons of which the other owns the service
    When the owner receives the same slot request three times
    Then it grants the same slot each time and counts one request

  Scenario: A caller is not refused because the owner does not have the route yet
    Given two daemons of which the other owns the service
    When a read arrives and the owner reports that it has no such route
    Then it is dispatched within 300 ms

  Scenario: Random schedules of lost, late and repeated datagrams, pauses and restarts
    When 200 random schedules of three daemons that grant slots are run, from seed 1
    Then no write is sent twice or wrongly refused as not run, and no call stays open

  Scenario: A daemon without backend servers does not grant slots
    Given two daemons of which the other owns the service
    When the owner reports that it has no backend server
    Then the next read is dispatched without a slot request

  Scenario: The explanation of a route names the daemon that grants its slots
    Given two daemons of which the other owns the service
    When each explains where a read would go
    Then both name that owner
