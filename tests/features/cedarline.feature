Feature: Families and staff of Cedarline Plaque Works
  Their budget is fixed by a public contract and may never be exceeded.

  Background:
    Given a Cedarline fleet with two routers
    And a customer with 3000 tokens

  Scenario: A suggestion is streamed as it is written
    When a family asks router 1 for a dedication
    Then the answer is a complete stream
    And the bill equals what the engines counted

  Scenario: An engraving order that is sent twice runs once
    When staff place the order "bench-12" through router 1
    And staff place the order "bench-12" through router 2
    Then both answers are the same
    And the order "bench-12" ran once

  Scenario: The same key of another customer is another order
    Given another customer with 500 tokens
    When staff place the order "bench-40" through router 1
    And the other customer places the order "bench-40" through router 2
    Then the answers differ

  Scenario: A budget can be spent completely but never exceeded
    Given another customer with 100 tokens
    When the other customer looks up proofs until refused
    Then 100 look-ups were answered
    And the refusal is "budget_exhausted"
