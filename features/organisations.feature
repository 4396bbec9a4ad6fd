Feature: Callers belong to organisations by their credentials

  # One route type that was not known made the whole configuration unreadable: no daemon became
  # ready, and every request was refused.
  Scenario Outline: What cannot be used in a configuration takes only that out of service
    Given a stored configuration with <what>
    Then a request to <path> with the credential <credential> is <outcome>
    And <problems> problems are named
    And a daemon that gets it from a peer does the same, <outcome> and <problems> problems, without a key

    Examples: configurations
      | what                              | path         | credential | outcome         | problems |
      | nothing unusual                   | /orders/1    | key-one    | routed for one  | 0        |
      | nothing unusual                   | /packs/1     | key-two    | routed for two  | 0        |
      | nothing unusual                   | /orders/1    | none       | unauthenticated | 0        |
      | nothing unusual                   | /orders/1    | other      | unauthenticated | 0        |
      | nothing unusual                   | /open/1      | none       | routed for none | 0        |
      | an unknown route type             | /packs/1     | key-one    | out_of_service  | 1        |
      | an unknown route type             | /orders/1    | key-one    | routed for one  | 1        |
      | a route to an unknown service     | /packs/1     | key-one    | out_of_service  | 1        |
      | a service without a name          | /orders/1    | key-one    | routed for one  | 2        |
      | a service without a name          | /packs/1     | key-one    | out_of_service  | 2        |
      | a route that names no host        | /orders/1    | key-one    | routed for one  | 1        |
      | a negative quota                  | /orders/1    | key-two    | out_of_service  | 1        |
      | a negative quota                  | /orders/1    | key-one    | routed for one  | 1        |
      | a quota too large                 | /orders/1    | key-two    | out_of_service  | 1        |
      | an organisation without keys      | /orders/1    | key-one    | routed for one  | 0        |
      | keys that are not a list          | /orders/1    | key-one    | routed for one  | 1        |
      | a key of two organisations        | /orders/1    | key-one    | routed for one  | 1        |
      | a rank out of range               | /orders/1    | key-two    | routed for two  | 0        |
      | organisations that are null       | /orders/1    | none       | routed for none | 0        |
      | an organisation that is a text    | /orders/1    | key-two    | unauthenticated | 1        |
      | a key that is a number            | /orders/1    | key-one    | routed for one  | 1        |
      | a key with an escaped letter      | /orders/1    | key-two    | routed for two  | 0        |

  # Waiting requests kept the right that their key had when they arrived.
  Scenario Outline: A newer configuration removes a key
    Given a request with the credential key-two that <state>
    When a configuration without key-two comes into force <event>
    Then that request ends as <outcome>
    And a further request with the credential key-two is unauthenticated
    And a further request with the credential key-one is routed for one

    Examples: states of the request
      | state                 | event                                | outcome            |
      | waits here            | and a slot is free                   | credential_revoked |
      | waits at an owner     | and the owner grants a slot later    | credential_revoked |
      | has been sent         | and its backend server rejects it    | credential_revoked |
      | has been sent         | and its backend server answers       | answered           |
      | waits here            | and then an older one is read again  | credential_revoked |

  # A caller does not repeat a request that was answered 401, so a daemon that was cut off when a
  # key was added must not answer so.
  Scenario Outline: What a daemon answers when it has not read the store for some time
    Given a daemon that has read the store <age> s ago
    Then a request to <path> with the credential <credential> is <outcome>

    Examples: ages
      | age | path      | credential | outcome              |
      | 1.5 | /orders/1 | other      | unauthenticated      |
      | 2.5 | /orders/1 | other      | credential_unchecked |
      | 2.5 | /orders/1 | none       | unauthenticated      |
      | 2.5 | /orders/1 | key-one    | routed for one       |
      | 2.5 | /open/1   | other      | routed for none      |

  # A daemon that was suspended while a key was removed accepted the key until it heard of that.
  Scenario Outline: What a daemon answers after it was suspended
    Given a daemon that was suspended for <pause> s and resumed <since> s ago
    Then a request to <path> with the credential <credential> is <outcome>

    Examples: suspensions
      | pause | since | path      | credential | outcome              |
      | 4.0   | 0.0   | /orders/1 | key-one    | credential_unchecked |
      | 4.0   | 0.9   | /orders/1 | key-one    | credential_unchecked |
      | 4.0   | 0.9   | /orders/1 | other      | credential_unchecked |
      | 4.0   | 0.9   | /open/1   | key-one    | routed for one       |
      | 4.0   | 0.9   | /open/1   | none       | routed for none      |
      | 4.0   | 1.1   | /orders/1 | key-one    | routed for one       |
      | 2.0   | 0.0   | /orders/1 | key-one    | routed for one       |

  Scenario: A backend server gets the caller's organisation and not its credential
    Given the platform with organisations and 2 daemons
    When a request with the credential key-one, which claims to be of two, goes through front-1
    Then the backend server was sent the organisation one and no credential
    When requests with odd credentials go through front-1
    Then each is answered 401 and none ran
    And no credential stands in a log, in the metrics or in the status of a daemon
    When a peer asks front-2 for its configuration
    Then no credential stands in what it sends, and routes and services are as written

  Scenario: A key that the operator removes ends on connections that stay open
    Given the platform with organisations and 2 daemons
    When callers with key-two keep a connection open to each daemon
    And the operator removes key-two while the store is silent for 1 s
    Then both callers are answered 401 within 5 s, and never 200 after that
