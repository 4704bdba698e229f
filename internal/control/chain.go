package control

import (
	"context"
	"errors"
	"fmt"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/internal/control/operatorapi"
)

// operatorChain is the chain as the operator's API needs it.
type operatorChain struct{ replica Replica }

// Propose has an order carried out.
func (o operatorChain) Propose(ctx context.Context, id string, order []byte) ([]byte, error) {
	result, err := o.replica.Propose(ctx, id, order)
	if errors.Is(err, replica.ErrUnavailable) {
		return nil, fmt.Errorf("%w: %w", operatorapi.ErrUnavailable, err)
	}
	return result, err
}

// Read waits for all that was acknowledged.
func (o operatorChain) Read(ctx context.Context) error {
	_, err := o.replica.Read(ctx)
	return err
}
