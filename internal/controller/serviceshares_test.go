package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestShareOfAServiceThatIsFull guards against a team whose backlog takes all workers of a service, since those of
// another service are idle.
func TestShareOfAServiceThatIsFull(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(60, 8000)
	for _, id := range sim.workerIDs()[10:] {
		sim.workers[id].service = "other"
	}
	sim.setTeams(workload.Team{Name: "north", Weight: 1}, workload.Team{Name: "south", Weight: 1})
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submitFor("north", simpleJob("n", "batch", 240, 1000, nil))
	sim.advance(300 * time.Millisecond)
	sim.submitFor("south", simpleJob("s", "batch", 100, 1000, nil))
	sim.advance(1700 * time.Millisecond)
	sim.wantShareOfNorth("after two run times", 0.5)
}
