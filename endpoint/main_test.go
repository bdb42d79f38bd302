package endpoint

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that the tests leak no goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
