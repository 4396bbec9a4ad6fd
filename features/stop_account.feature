Feature: Whatever a request waits for, a planned stop serves it, or says in time that it did not run

  A stop of 6 s gives requests 5.5 s. Work takes 1 s where nothing else is said.

  # Requests that waited for a slot 5.7 s after SIGTERM ended without an answer (review/6).
  Scenario Outline: A request that waits for <what> gets its answer while it can still be read
    Given a daemon on a fake clock with a request that waits for <what>
    When the stop has lasted 4.2 s
    Then its outcome is <early>
    When the stop has lasted 4.4 s
    Then its outcome is <unfit>
    When the stop has reached its limit
    Then its outcome is <last>, with nothing left of it

    Examples:
      | what                     | early   | unfit         | last          |
      | a slot                   | waiting | stopping      | stopping      |
      | the owner of its queue   | waiting | stopping      | stopping      |
      | a quota                  | waiting | stopping      | stopping      |
      | a retry of a read        | waiting | repeat_failed | repeat_failed |
      | a retry of nothing sent  | waiting | stopping      | stopping      |
      | a holder of its key      | waiting | stopping      | stopping      |
      | another with its key     | waiting | waiting       | cut_by_stop   |
      | a peer                   | waiting | waiting       | cut_by_stop   |
      | a server, a read         | waiting | waiting       | cut_by_stop   |
      | a server, a write        | waiting | waiting       | cut_by_stop   |
      | a server, hedged         | waiting | waiting       | cut_by_stop   |
      | a slot for another daemon | waiting | waiting      | denied        |

  Scenario Outline: A slot that comes free <seconds> s into the stop at a server <slowdown> times slower
    Given a daemon on a fake clock with a request that waits for a slot
    When its server, <slowdown> times slower than usual, comes free <seconds> s into the stop
    Then its outcome is <outcome>

    Examples:
      | seconds | slowdown | outcome    |
      | 3.0     | 1.0      | dispatched |
      | 4.2     | 1.0      | dispatched |
      | 3.8     | 1.6      | stopping   |
      | 4.4     | 1.0      | stopping   |

  Scenario Outline: A slot granted <seconds> s into the stop at a server <slowdown> times slower
    Given a daemon on a fake clock with a request that waits for the owner of its queue
    When a server <slowdown> times slower than usual is granted <seconds> s into the stop
    Then its outcome is <outcome>

    Examples:
      | seconds | slowdown | outcome    |
      | 3.0     | 1.0      | dispatched |
      | 3.0     | 2.6      | stopping   |

  Scenario: An owner that ends denies what waits at it, and its asker turns to the next owner
    Given a daemon on a fake clock with a request that waits for the owner of its queue
    When the owner denies it, since it stops
    Then its outcome is dispatched

  Scenario: A failed read is not retried where the retry would outlast the stop
    Given a daemon on a fake clock with a request that waits for a server, a read
    When its server fails 4.4 s into the stop
    Then its outcome is answer_lost

  # Connections whose callers had not been told of the stop were closed without an answer.
  Scenario: A request behind a response that began before the stop is served
    Given a daemon with 3 backend servers on fake connections
    When a large response begins, a planned stop begins, and a write is sent behind it
    And the large response ends
    Then the write is passed on, and its response says that the connection closes

  # A connection counted as idle while its response was on the way; a further request reset it
  # (review/8).
  Scenario: A connection whose response is on its way stays open in a stop
    Given a daemon with 3 backend servers on fake connections
    And a caller that has got its response but not acknowledged it
    When a planned stop of 6 s has lasted 4 s
    Then the connection is open in both directions
    When the caller sends a further request, which a server answers
    Then its last response is 200, and the connection closes in steps

  Scenario: An idle connection is closed in steps
    Given a daemon with 3 backend servers on fake connections
    And a caller that has got its response
    When a planned stop of 6 s has lasted 4 s
    Then the connection closes in steps

  Scenario Outline: A stop that reaches its limit answers <what> with <status>
    Given a daemon with 3 backend servers on fake connections
    And a caller with <what>
    When a planned stop of 6 s has lasted 5.6 s
    Then its last response is <status>, and the connection closes in steps
    And nothing is kept of it

    Examples:
      | what                               | status |
      | a write at a server                | 502    |
      | a read at a server                 | 502    |
      | a write whose connection opens     | 503    |
      | a write behind another             | 502    |
      | a head that is arriving            | 503    |
      | a body that is arriving            | 503    |
      | a body that is passed on meanwhile | 502    |

  Scenario: A second SIGTERM changes nothing
    Given a daemon with 3 backend servers on fake connections
    And a caller with a write at a server
    When a planned stop of 6 s has lasted 4 s
    And SIGTERM comes again
    Then the process does not end
    When a planned stop of 6 s has lasted 5.6 s
    Then its last response is 502, and the connection closes in steps
    And the process ends
