Feature: A second attempt replaces a slow one

  Scenario Outline: One answer reaches the caller, and every slot is released
    Given a daemon that starts second attempts
    When a read is sent and <events>
    Then the caller gets <outcome>, and <cancelled> is cancelled
    And of second attempts it counts <counts>
    And it has no request at any backend server

    Examples:
      | events                                                    | outcome           | cancelled | counts       |
      | slow, answers second                                      | second            | first     | started won  |
      | slow, answers first                                       | first             | second    | started lost |
      | slow, answers second 500, answers first                   | first             | nothing   | started lost |
      | slow, answers first 500, answers second                   | second            | nothing   | started won  |
      | slow, answers second refused, answers first               | first             | nothing   | started lost |
      | slow, breaks second, answers first                        | first             | nothing   | started lost |
      | slow, breaks first, answers second                        | second            | nothing   | started won  |
      | slow, breaks first unsent, answers second                 | second            | nothing   | started won  |
      | slow, answers first 500, answers second 500               | second            | nothing   | started lost |
      | slow, breaks first, breaks second                         | answer_lost       | nothing   | started lost |
      | slow, breaks first, answers second refused                | repeat_failed     | nothing   | started lost |
      | slow, answers first refused, answers second refused       | shed              | nothing   | started lost |
      | slow, disconnects                                         | released          | both      | started lost |
      | slow, wait 500                                            | deadline_exceeded | both      | started lost |
      | slow, relays first, answers first                         | first             | second    | started lost |
      | slow, relays second, answers second                       | second            | first     | started won  |
      | slow, relays second, breaks second relayed                | answer_lost       | first     | started lost |
      | slow, relays first 500, answers second                    | second            | first     | started won  |
      | relays first, slow, answers first                         | first             | nothing   | nothing      |
      | answers first, slow                                       | first             | nothing   | nothing      |

  Scenario Outline: Second attempts count among those of their call
    Given a daemon that starts second attempts and allows <allowed> attempts
    When a read is sent and saved, slow, breaks first, breaks second
    Then it is sent to <allowed> backend servers

    Examples:
      | allowed |
      | 2       |
      | 3       |

  Scenario Outline: No second attempt is started
    Given a daemon that starts second attempts <setting>
    When <request> is sent and <events>, slow
    Then it is sent to 1 backend server
    And of second attempts it counts <counts>
    And no budget is spent

    Examples: what may not be repeated
      | setting                   | request                         | events  | counts  |
      | as usual | a write                         | wait 0  | nothing |
      | as usual | a read in parts                 | wait 0  | nothing |
      | as usual | a read that is retried upstream | wait 0  | nothing |
      | and allows 1 attempt      | a read                          | wait 0  | nothing |
      | with a share of 0         | a read                          | wait 0  | nothing |
      | and knows 10 answers      | a read                          | wait 0  | nothing |
      | as usual | a read with 70 ms left          | wait 0  | nothing |
      | as usual | a read                          | slowed 4 | nothing |
      | as usual | a read                          | suspected | nothing |

    Examples: what is not free
      | setting                   | request | events                        | counts |
      | as usual | a read  | full i-0 i-1 i-2              | denied |
      | as usual | a read  | leaving i-0 i-1 i-2           | denied |
      | as usual | a read  | cold i-0 i-1 i-2              | denied |
      | as usual | a read  | warming i-0 i-1 i-2           | denied |
      | as usual | a read  | paused i-0 i-1 i-2            | denied |
      | as usual | a read  | waiting                       | denied |
      | as usual | a read  | spent retries                 | denied |
      | as usual | a read  | spent hedging                 | denied |
      | where 90 in 100 slots must be free | a read | full i-1              | denied |
      | where no slots must be free        | a read | full i-1 i-2          | denied |

  Scenario Outline: The owner of the zone decides
    Given a daemon that asks an owner for second attempts
    When a read is sent and slow, <events>
    Then the read is sent to <servers> and the caller gets <outcome>
    And of second attempts it counts <counts>
    And the budgets are as before less <spent>

    Examples:
      | events                                       | servers | outcome | counts       | spent |
      | granted i-1, answers second                  | i-0 i-1 | second  | started won  | 1     |
      | denied, answers first                        | i-0     | first   | denied       | 0     |
      | queued, answers first                        | i-0     | first   | denied       | 0     |
      | wait 120, granted i-1, answers first         | i-0     | first   | denied       | 0     |
      | answers first, granted i-1                   | i-0     | first   | denied       | 0     |
      | relays first, granted i-1, answers first     | i-0     | first   | denied       | 0     |
      | granted i-0, answers first                   | i-0     | first   | denied       | 0     |
      | leaving i-1, granted i-1, answers first      | i-0     | first   | denied       | 0     |
      | cold i-1, granted i-1, answers first         | i-0     | first   | denied       | 0     |
      | granted i-1, granted i-2, answers first      | i-0 i-1 | first   | started lost | 1     |

  Scenario: The denial of a second attempt does not end the retry of its call
    Given a daemon that asks an owner for second attempts
    When a read is sent and saved, slow, breaks first, denied
    Then the read waits for the owner's answer to its retry

  Scenario Outline: The owner grants a free slot or denies it, and queues nothing
    Given a daemon that starts second attempts
    When a read is sent and <events>
    Then it answers a peer's request for a second attempt with <answer>

    Examples:
      | events           | answer     |
      | wait 0           | a grant    |
      | waiting          | overloaded |
      | full i-1 i-2     | overloaded |
      | cold i-1 i-2     | overloaded |
      | leaving i-1 i-2  | overloaded |

  Scenario: Under load the slowest answers are faster, within the share
    Given 6 daemons of a zone under 60 requests a second, seed 1
    When they run without second attempts and with a share of 0.1
    Then the slowest hundredth of the answers is faster with them
    And there are at most 0.1 second attempts for each request

  Scenario: A backend server that does not answer is replaced
    Given 3 backend servers and 2 daemons that start second attempts
    And 40 usual reads went through each
    When reads go through each daemon until i-1 has left one without an answer
    Then all of them were answered by a backend server
    And the connections without an answer are closed
    And log lines and metrics show the second attempts that answered them

  Scenario: Random schedules keep attempts, answers, writes, slots and budgets within their bounds
    When random schedules of slow reads and writes are run
    Then at least 20 second attempts of each result were counted
