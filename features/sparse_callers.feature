Feature: Calls of many daemons with few calls each reuse connections

  # At 312 daemons more connections were opened than requests sent, since a server that no call was
  # sent to for 1 s counted as cheap as a connected one, and one such server is always there.
  Scenario Outline: 60 daemons of <rate> calls a second each share 20 backend servers, seed <seed>
    Given 60 daemons of <rate> calls a second each, seed <seed>
    When the owner grants their slots for 30 s
    Then at least a quarter fewer connections are opened than where connections weigh little
    And no fewer calls are answered within the target

    Examples:
      | rate | seed |
      | 0.6  | 1    |
      | 0.6  | 2    |
      | 0.6  | 3    |
