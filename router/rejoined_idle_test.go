package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// idleSurvivorSeeds is the number of emulations. Without a fix, about half of them have a mixed stream.
const idleSurvivorSeeds = 6

// Guards against streams that are joined from two versions (ORDER) after a kill of all instances but one that has no callers: it has no
// connection to any endpoint, so it does not notice which ones end, but has been in contact with the store for long. Instances that start
// must not take its word that no endpoint has started again.
func TestNoStreamIsJoinedFromTwoVersionsWhileAnIdleInstanceLives(t *testing.T) {
	c := rejoinedCase{"one_idle_instance_lives", []string{"v1", "v2"}, func(e *emulator) map[time.Duration]func() {
		survivor := e.instances[0]
		survivor.weight = 0
		return map[time.Duration]func(){
			firstKill:                         func() { e.killAll(300*time.Millisecond, survivor) },
			firstKill + 100*time.Millisecond:  func() { e.restartSome(3, "v1", "v2") },
			firstKill + 1500*time.Millisecond: func() { e.restartSome(2, "v2", "v1") },
		}
	}}
	for seed := range uint64(idleSurvivorSeeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if r := playRejoined(c, seed, 8, 9, 100); len(r.mixed) > 0 {
					t.Errorf("ORDER: %d streams hold events of two versions, the first: %s", len(r.mixed), r.mixed[0])
				}
			})
		})
	}
}
