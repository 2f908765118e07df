Feature: Guarantees to callers under failure

  Background:
    Given a service with the upstreams u1 and u2

  Scenario: Non-idempotent request lost on a silent connection
    Given the connection to u1 is open
    And the connection to u1 goes silent
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran once
    And the request ran at u2

  Scenario: Connection goes silent while a non-idempotent request runs
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the connection to u1 goes silent
    And u1 is unblocked after 1 s
    Then the request is answered
    And the request ran once
    And the request ran at u1

  Scenario: Answer lost on a silent connection is fetched over a new one
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the connection to u1 goes silent
    And u1 is unblocked after 0.01 s
    Then the request is answered
    And the request ran once

  Scenario: Delayed request is refused after its revocation
    Given requests to u1 are held
    And a caller sends a non-idempotent request to u1
    When the connection to u1 is cut
    Then the request is answered
    And the request ran at u2
    When the held requests to u1 arrive
    Then the request ran once

  Scenario: Sidecar restarts between a request and its revocation
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the node of u1 restarts
    Then the request may have run
    And the request ran once

  Scenario: Sidecar is lost while a non-idempotent request runs
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the node of u1 is killed
    Then the request may have run
    And the request ran once

  Scenario: Sidecar is lost while an idempotent request runs
    Given u1 is blocked
    And a caller sends an idempotent request to u1
    When the node of u1 is killed
    Then the request is answered

  Scenario: Duplicate delivery of a request
    Given requests to u1 arrive twice
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran once

  Scenario: Late and reordered answers
    Given answers of u1 are held
    And a caller sends 2 non-idempotent requests to u1
    When the held answers of u1 arrive in reverse order
    Then each request has its own answer

  Scenario: Answer after the deadline is dropped
    Given answers of u1 are held
    And a caller sends a non-idempotent request to u1
    When the deadline passes
    Then the request may have run
    When the held answers of u1 arrive in reverse order
    Then 1 late answer is dropped

  Scenario: Upstream receives a request and closes the connection
    Given u1 closes connections after receipt
    And u2 closes connections after receipt
    When a caller sends a non-idempotent request to u1
    Then the request may have run
    And the request ran once

  Scenario: Upstream refuses connections
    Given u1 refuses connections
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran at u2

  Scenario: Upstream sheds requests as its announcement declares
    Given u1 sheds requests
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran at u2

  Scenario: All upstreams shed requests
    Given u1 sheds requests
    And u2 sheds requests
    When a caller sends a non-idempotent request to u1
    Then the request did not run

  Scenario: Upstream fails idempotent requests fast
    Given u1 fails fast
    When a caller sends an idempotent request to u1
    Then the request is answered with status 200

  Scenario: Refused hedge does not end the request while the first attempt runs
    Given the additional upstreams u3 and u4
    And u1 sheds requests
    And u2 sheds requests
    And u4 sheds requests
    And u3 is blocked
    When a caller sends an idempotent request to u3
    And u3 is unblocked after 0.5 s
    Then the request is answered with status 200

  Scenario: Non-idempotent request is not retried after a failure
    Given u1 fails fast
    When a caller sends a non-idempotent request to u1
    Then the request is answered with status 500
    And the request ran once

  Scenario: Graceful stop with requests in flight
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the node of u1 begins a graceful stop
    And u1 is unblocked after 1 s
    Then the request is answered
    And the request ran at u1
    And the node of u1 is idle

  Scenario: Draining upstream receives no new requests
    Given the upstream u1 drains
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran at u2

  Scenario: Caller disconnects while its request runs
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the caller disconnects
    Then the request at u1 is cancelled

  Scenario: Queued request is rerouted to another upstream
    Given u1 is blocked
    And the slots of u1 are occupied
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran at u2

  Scenario: Deadline passes while the request is queued
    Given u1 is blocked
    And u2 is blocked
    And the slots of u1 are occupied
    And the slots of u2 are occupied
    When a caller sends a non-idempotent request to u1
    And the deadline passes
    Then the request did not run

  Scenario: Caller retries a request with the same idempotency key
    When a caller sends a request with the key k1
    Then the request is answered
    When the caller retries the request
    Then the request is answered
    And the request ran once

  Scenario: Idempotency key is reused for a different request
    When a caller sends a request with the key k1
    Then the request is answered
    When the caller sends a different request with the key k1
    Then the request did not run

  Scenario: Two faults at once: silent connection and a draining upstream
    Given the connection to u1 is open
    And the connection to u1 goes silent
    And the upstream u1 drains
    When a caller sends a non-idempotent request to u1
    Then the request is answered
    And the request ran at u2

  Scenario: The same fault twice: the new connection goes silent as well
    Given u1 is blocked
    And a caller sends a non-idempotent request to u1
    When the connection to u1 goes silent
    And 0.6 s pass
    And the connection to u1 goes silent
    And u1 is unblocked after 1 s
    Then the request is answered
    And the request ran once
