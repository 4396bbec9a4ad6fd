Feature: A remote side that reads nothing for a while keeps its connection

  # The option that ends connections to lost remote sides also counts a closed window: callers
  # that read nothing for four seconds lost their answers and all behind them (review/7).
  Scenario Outline: Bytes on an <kind> stream arrive whole after a pause of 4.5 s
    Given an <kind> stream on real sockets
    When its remote side reads 500000 bytes only after 4.5 s
    Then the remote side has got every byte

    Examples:
      | kind     |
      | accepted |
      | opened   |

  # Without the short limit a request would wait for a lost server until its time limit.
  Scenario Outline: A lost remote side of an <kind> stream is found while its window must be open
    Given an <kind> stream on real sockets
    When 16000 bytes are written
    Then a remote side that acknowledges nothing is given up after 3 s
    When 16000 bytes are written
    Then a remote side that acknowledges nothing is given up after 20 s
    When the remote side is known to have read them
    And 16000 bytes are written
    Then a remote side that acknowledges nothing is given up after 3 s

    Examples:
      | kind     |
      | accepted |
      | opened   |
