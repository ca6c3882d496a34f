package pause

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	began := time.Now()
	assert.NoError(t, For(ctx, 5*time.Millisecond))
	assert.GreaterOrEqual(t, time.Since(began), 5*time.Millisecond)
	end()
	assert.ErrorIs(t, For(ctx, time.Hour), context.Canceled)
	assert.NoError(t, For(ctx, 0))
	assert.NoError(t, For(ctx, -time.Second))
}
