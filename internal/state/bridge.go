package state

// Bridge finds the snapshot that lets a reader go on after records it has not
// read were removed by age. Feed it every kept record in order.
type Bridge struct {
	// First is the oldest kept offset when the gap was found.
	First int64
}

// Control returns the table of the first snapshot in a record that covers all
// removed records, nil if the record holds none.
func (b Bridge) Control(data []byte) *Control {
	changes, err := Decode(data)
	if err != nil {
		return nil
	}
	for _, ch := range changes {
		if ch.Type == ControlSnap && ch.Control != nil && ch.Control.Next >= b.First {
			return RestoreControl(*ch.Control)
		}
	}
	return nil
}

// Jobs is Control for a jobs stream.
func (b Bridge) Jobs(data []byte) *Jobs {
	changes, err := Decode(data)
	if err != nil {
		return nil
	}
	for _, ch := range changes {
		if ch.Type == JobsSnap && ch.Jobs != nil && ch.Jobs.Next >= b.First {
			return RestoreJobs(*ch.Jobs)
		}
	}
	return nil
}
