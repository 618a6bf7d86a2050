package control

// Held is how many customers a gateway remembers.
func (g *Gateway) Held() int { return len(g.customers) }

// Servers is how many servers a gateway remembers.
func (g *Gateway) Servers() int { return len(g.servers) }

// MaxCustomers is how many customers a gateway holds.
const MaxCustomers = maxCustomers
