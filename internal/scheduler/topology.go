package scheduler

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// rackKey identifies a rack; rack names are unique only within a failure domain.
type rackKey struct {
	region, domain, rack string
}

// rack contains the nodes of one rack, ordered by worker ID.
type rack struct {
	key   rackKey
	seed  uint64
	nodes []*Node
}

// domainKey identifies the rack's failure domain.
func (r *rack) domainKey() rackKey {
	return rackKey{region: r.key.region, domain: r.key.domain}
}

// topology contains the racks of a NodeSet, ordered by key so that no decision depends
// on the order in which workers were added.
type topology struct {
	byKey map[rackKey]*rack
	racks []*rack
}

func newTopology() topology {
	return topology{byKey: make(map[rackKey]*rack)}
}

// add adds a node to the rack of its worker.
func (t *topology) add(n *Node) {
	key := rackKeyOf(n.worker)
	r := t.byKey[key]
	if r == nil {
		r = &rack{key: key, seed: hash(key.region, key.domain, key.rack)}
		t.byKey[key] = r
		at, _ := slices.BinarySearchFunc(t.racks, r, compareRacks)
		t.racks = slices.Insert(t.racks, at, r)
	}
	at, _ := slices.BinarySearchFunc(r.nodes, n, compareNodes)
	r.nodes = slices.Insert(r.nodes, at, n)
	n.rack = r
}

// remove removes a node from its rack, and the rack once it is empty.
func (t *topology) remove(n *Node) {
	r := n.rack
	at, found := slices.BinarySearchFunc(r.nodes, n, compareNodes)
	if found {
		r.nodes = slices.Delete(r.nodes, at, at+1)
	}
	n.rack = nil
	if len(r.nodes) > 0 {
		return
	}
	delete(t.byKey, r.key)
	at, found = slices.BinarySearchFunc(t.racks, r, compareRacks)
	if found {
		t.racks = slices.Delete(t.racks, at, at+1)
	}
}

// rackKeyOf returns the key of a worker's rack.
func rackKeyOf(w structs.Worker) rackKey {
	return rackKey{region: w.Region, domain: w.Domain, rack: w.Rack}
}
