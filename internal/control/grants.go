package control

import (
	"context"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// updateGrants proposes the next change of the grant record that the quota service needs, if any.
func (c *Control) updateGrants() {
	change := c.quota.NextChange()
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	outcome := c.proposeGrants(ctx, change)
	c.quota.ChangeDone(change, outcome)
	if outcome != nil && outcome.Taken && change.Begin {
		c.log.Info().Str("previous_grantor", outcome.Before.Member).Int("nodes", len(outcome.Nodes)).
			Msg("quota_grantor_started")
	}
}

// releaseGrants releases the grantor role, so that the next grantor can begin at once.
func (c *Control) releaseGrants(ctx context.Context) {
	if change := c.quota.Release(); change != nil {
		c.proposeGrants(ctx, change)
	}
}

// proposeGrants proposes a change of the grant record. It returns nil if the outcome is unknown; rolesLoop
// retries in its next round.
func (c *Control) proposeGrants(ctx context.Context, change *statemachine.GrantsChange) *statemachine.GrantsOutcome {
	encoded, err := statemachine.Command{Lending: change}.Encode()
	if err != nil {
		c.log.Error().Err(err).Msg("grant_command_not_encoded")
		return nil
	}
	if encoded, err = c.replica.Propose(ctx, "lending-"+randomName(), encoded); err != nil {
		return nil
	}
	outcome, err := statemachine.DecodeOutcome(encoded)
	if err != nil {
		c.log.Error().Err(err).Msg("grant_outcome_not_decoded")
		return nil
	}
	return outcome.Lending
}
