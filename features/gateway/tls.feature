Feature: Processes speak TLS, and nothing changes without a certificate and a token

    Scenario: Peers' and operators' ports refuse calls without their certificate or token
        Given a deployment that speaks TLS with the "first" certificate and trusts "first"
        Then these calls that drain a worker are refused:
            | port      | certificate | token |
            | peers     | none        | right |
            | peers     | second      | right |
            | peers     | first       | wrong |
            | operators | none        | wrong |
            | operators | first       | wrong |
        And no port answers plain HTTP
        And no worker is draining
        When a worker is drained on the "peers" port with certificate "first" and token "right"
        Then a worker is draining

    Scenario: Without TLS the peer token alone is enough to drain a worker
        Given a deployment that speaks plain HTTP
        When a worker is drained on the "peers" port with certificate "none" and token "right"
        Then a worker is draining

    Scenario: A certificate and an authority replaced on disk are taken up without a restart
        Given a deployment that speaks TLS with the "first" certificate and trusts "first and second"
        When the certificate on disk is replaced by "second"
        Then the ports show the "second" certificate
        When the authorities on disk are replaced by "second"
        Then the peers' ports refuse the "first" certificate
        When a scheduler is restarted
        Then every process answers through the first gateway
        And no other process has been restarted

    Scenario: An emptied key leaves the certificate in use
        Given a deployment that speaks TLS with the "first" certificate and trusts "first and second"
        When the key on disk is emptied
        And the first gateway has logged that it could not read it
        Then the ports show the "first" certificate
