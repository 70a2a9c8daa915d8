package authority

// The steps of the model that walk_test.go explores.

import "reflect"

// forEachStep calls yield for each step from a state, with the state that it leads to.
func (mc *modelChecker) forEachStep(s modelState, yield func(step string, args [2]int, to modelState)) {
	yield("time passes", [2]int{}, mc.tick(s))
	for i := range modelMembers {
		mc.applyRecord(s, i, yield)
		mc.readTail(s, i, yield)
		mc.consent(s, i, yield)
		mc.attestOldMember(s, i, yield)
		if mc.pauses && !s.members[i].wokeFromPause {
			to := s
			to.members[i].wokeFromPause = true
			yield("resumes from a pause", [2]int{i}, to)
		}
		if mc.restartClearsConsent && s.members[i].consents != 0 {
			to := s
			to.members[i].forgotConsents = true
			yield("restart", [2]int{i}, to)
		}
	}
	for c := range mc.changes {
		mc.sendAppend(s, c, yield)
		mc.commitRecord(s, c, yield)
	}
}

type stepFunc = func(step string, args [2]int, to modelState)

func (mc *modelChecker) tick(s modelState) modelState {
	older := func(age *uint8) { *age = min(*age+1, mc.validity) }
	older(&s.tailAge)
	for i := range s.attestationAges {
		older(&s.attestationAges[i])
	}
	for n := range s.readAges {
		older(&s.readAges[n])
		older(&s.recordAges[n])
	}
	return s
}

// applyRecord has a member apply one more record, which it read itself or received from
// another member.
func (mc *modelChecker) applyRecord(s modelState, i int, yield stepFunc) {
	if s.members[i].epoch >= s.length() {
		return
	}
	if i == mc.new {
		s.readAges[s.members[i].epoch] = 0
	}
	s.members[i] = modelMember{epoch: s.members[i].epoch + 1, wokeFromPause: s.members[i].wokeFromPause}
	if i == mc.old {
		mc.clearObservations(&s)
	}
	yield("applies a record", [2]int{i}, s)
}

// clearObservations removes the old member's observations.
func (mc *modelChecker) clearObservations(s *modelState) {
	s.tailAge = mc.validity
	for i := range s.attestationAges {
		s.attestationAges[i] = mc.validity
	}
}

// readTail is a tail read that shows no record that the member has not applied.
func (mc *modelChecker) readTail(s modelState, i int, yield stepFunc) {
	if s.members[i].epoch != s.length() {
		return
	}
	if i == mc.old {
		s.tailAge = 0
	}
	s.members[i].wokeFromPause = false
	if mc.readClearsConsent && s.members[i].consents != 0 {
		s.members[i].forgotConsents = true
	}
	yield("reads the tail", [2]int{i}, s)
}

func (mc *modelChecker) consent(s modelState, i int, yield stepFunc) {
	if s.members[i].epoch != s.length() || s.length() == mc.maxRecords {
		return
	}
	attester := mc.attester(&s, i)
	for c := range mc.changes {
		state := mc.membershipAt(s.prefix(s.members[i].epoch))
		if _, err := nextTable(state.Table, state.Table.Epoch+1, withBase(mc.changes[c], state)); err != nil {
			continue
		}
		if s.members[i].consents>>c&1 == 1 || s.pending[c] != 0 || attester.Consent(state.Table.Epoch) != nil {
			continue
		}
		to := s
		to.members[i].consents |= 1 << c
		to.members[i].forgotConsents = false
		yield("consents to change", [2]int{i, c}, to)
	}
}

func withBase(c MembershipChange, s MembershipState) MembershipChange {
	c.Base = s.Table.Epoch
	return c
}

// attestOldMember is the answer of member i to the old member's request for
// attestation.
func (mc *modelChecker) attestOldMember(s modelState, i int, yield stepFunc) {
	if i == mc.old {
		return
	}
	epoch := mc.membershipAt(s.prefix(s.members[mc.old].epoch)).Table.Epoch
	if mc.attestAnyEpoch {
		epoch = mc.membershipAt(s.prefix(s.members[i].epoch)).Table.Epoch
	}
	if mc.attester(&s, i).Attest(epoch) != AttestGranted {
		return
	}
	s.attestationAges[i] = 0
	yield("attests", [2]int{i}, s)
}

// sendAppend sends the append of a change with sufficient consents. Nothing depends on
// the answer.
func (mc *modelChecker) sendAppend(s modelState, c int, yield stepFunc) {
	if s.pending[c] != 0 || s.length() == mc.maxRecords {
		return
	}
	p := modelProposal{prefix: s.prefix(s.length()), change: c}
	for i := range s.members {
		if s.members[i].epoch == s.length() {
			p.consents |= s.members[i].consents >> c & 1 << i
		}
	}
	s.pending[c] = mc.proposedRecord(p)
	if s.pending[c] != 0 {
		yield("is appended: change", [2]int{-1, c}, s)
	}
}

// proposedRecord returns the record that Proposal creates from the consents, zero if
// they do not suffice.
func (mc *modelChecker) proposedRecord(p modelProposal) recordID {
	if id, found := mc.proposedRecords[p]; found {
		return id
	}
	mc.proposedRecords[p] = 0
	proposal, err := NewProposal(mc.membershipAt(p.prefix), mc.changes[p.change])
	if err != nil {
		return 0
	}
	for _, id := range memberIDs(p.consents) {
		proposal.RecordConsent(id)
	}
	for _, id := range mc.wronglyListedGone {
		proposal.CountAsGone(id)
	}
	c, ready := proposal.Ready()
	if mc.joinNeedsNoConsent && len(proposal.Change().Join) > 0 {
		c, ready = proposal.Change(), true
	}
	if ready {
		mc.proposedRecords[p] = mc.recordIDOf(p.prefix, c)
	}
	return mc.proposedRecords[p]
}

// recordIDOf returns the ID of a record. Records that differ only in their consents get
// the same ID, except with forced changes, where consents determine which members are
// unconfirmed.
func (mc *modelChecker) recordIDOf(prefix logPrefix, c MembershipChange) recordID {
	for i, known := range mc.records {
		same := known.ID == c.ID && known.Base == c.Base && mc.recordPrefixes[i] == prefix
		if same && (len(mc.wronglyListedGone) == 0 || reflect.DeepEqual(known, c)) {
			return recordID(i + 1)
		}
	}
	mc.records = append(mc.records, c)
	mc.recordPrefixes = append(mc.recordPrefixes, prefix)
	return recordID(len(mc.records))
}

// commitRecord puts a sent record into the log. Other records with the same base then
// can't take effect.
func (mc *modelChecker) commitRecord(s modelState, c int, yield stepFunc) {
	if s.pending[c] == 0 {
		return
	}
	s.recordAges[s.length()] = 0
	s.log[s.length()] = s.pending[c]
	s.pending = [maxModelChanges]recordID{}
	yield("takes effect: change", [2]int{-1, c}, s)
}

// cannotConflict reports whether the old member can no longer have authority against a
// newer epoch.
func (mc *modelChecker) cannotConflict(s *modelState) bool {
	epoch := s.members[mc.old].epoch
	removed := epoch > 0 && mc.membershipAt(s.prefix(epoch-1)).Table.HasMember(modelMemberIDs[mc.old]) &&
		!mc.membershipAt(s.prefix(epoch)).Table.HasMember(modelMemberIDs[mc.old])
	return epoch == mc.maxRecords || removed
}
