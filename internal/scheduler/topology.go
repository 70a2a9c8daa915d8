package scheduler

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// rackKey names a rack; rack names are unique only within a failure domain.
type rackKey struct {
	region, domain, rack string
}

// rack is the workers of one rack, ordered by ID.
type rack struct {
	key   rackKey
	seed  uint64
	nodes []*Node
}

// domainKey names a failure domain.
func (r *rack) domainKey() rackKey {
	return rackKey{region: r.key.region, domain: r.key.domain}
}

// topology is the racks of a NodeSet, ordered by key so that no decision depends
// on the order of arrival.
type topology struct {
	byKey map[rackKey]*rack
	racks []*rack
}

func newTopology() topology {
	return topology{byKey: make(map[rackKey]*rack)}
}

// add puts a node into the rack of its worker.
func (t *topology) add(n *Node) {
	key := keyOf(n.worker)
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

// remove takes a node out of its rack and drops a rack that becomes empty.
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

// keyOf returns the rack of a worker.
func keyOf(w structs.Worker) rackKey {
	return rackKey{region: w.Region, domain: w.Domain, rack: w.Rack}
}
