package leasepb

import "junctionring/lease"

// FromMember returns the message for a member.
func FromMember(m lease.Member) *Member {
	return &Member{Kind: m.Kind, Name: m.Name, Site: m.Site, Address: m.Address, Version: m.Version, State: m.State}
}

// LeaseMember returns the member of a message. A nil message is an empty member.
func (x *Member) LeaseMember() lease.Member {
	return lease.Member{Kind: x.GetKind(), Name: x.GetName(), Site: x.GetSite(), Address: x.GetAddress(), Version: x.GetVersion(), State: x.GetState()}
}
