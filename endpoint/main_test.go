package endpoint

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no call leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
