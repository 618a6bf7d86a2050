package coordinator

// read waits until this coordinator has made sure that it leads.
type read func(err error)

type confirmedRound struct {
	index uint64
	reads []read
}

// confirm calls r once this coordinator has made sure, after now, that it leads, and has applied all that was
// committed before.
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
