package coordinator

// read is called with nil once this coordinator has confirmed its leadership, or with the reason why it can't.
type read func(err error)

// confirmedRound holds the reads of a read-index round that a quorum has confirmed, and their read index.
type confirmedRound struct {
	index uint64
	reads []read
}

// confirmLeadership calls r once a quorum has confirmed, after the time of this call, that this coordinator leads, and
// all entries committed until then are applied.
func (n *Node) confirmLeadership(r read) {
	if n.expiry == nil {
		r(errNotLeader)
		return
	}
	n.nextReads = append(n.nextReads, r)
}

func (n *Node) answerConfirmedReads() {
	for len(n.confirmedRounds) > 0 && n.confirmedRounds[0].index <= n.applied {
		for _, r := range n.confirmedRounds[0].reads {
			r(nil)
		}
		n.confirmedRounds = n.confirmedRounds[1:]
	}
}
