package control

// CustomerCount is how many customers a gateway remembers.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// ServerCount is how many servers a gateway remembers.
func (g *Gateway) ServerCount() int { return len(g.servers) }

// MaxCustomers is how many customers a gateway holds.
const MaxCustomers = maxCustomers
