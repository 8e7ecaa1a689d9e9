package main

// The operator's configuration, as PROTOCOL.md and `fleetbench wire` show it.

type configuration struct {
	Version   int
	Limits    limits
	Tenants   []tenant
	Listeners []listener
	Clusters  []cluster
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

type tenant struct {
	Name     string
	ApiKeys  []string
	Priority int
	RatePerS int
	Burst    int
}

type listener struct {
	Host   string
	Policy []rule
}

type rule struct {
	Name            string
	Kind            string
	TargetLatencyMs int
	Priority        int
	Public          bool
	Match           match
	Action          action
}

type match struct{ Prefix string }

type action struct {
	Service     string
	TimeoutMs   int
	MaxAttempts int
}

type cluster struct {
	Name       string
	HealthPath string
	MaxConns   int
	Protocol   string
	Tls        bool
	ColdStartS float64
	ColdPerS   float64
}

// baseConfig returns a configuration with one service, a route of each kind and the
// given tenants.
func baseConfig(version int, tenants ...tenant) configuration {
	return configuration{
		Version: version,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: tenants,
		Listeners: []listener{{Host: host, Policy: []rule{
			{Name: "r-read", Kind: "safe", TargetLatencyMs: 500, Priority: 2, Match: match{"/read/"}, Action: action{"stock", 2500, 2}},
			{Name: "r-report", Kind: "safe", TargetLatencyMs: 2503, Priority: 2, Match: match{"/report/"}, Action: action{"stock", 12000, 2}},
			{Name: "r-book", Kind: "unsafe", TargetLatencyMs: 500, Priority: 1, Match: match{"/book/"}, Action: action{"stock", 3000, 2}},
		}}},
		Clusters: []cluster{{Name: "stock", HealthPath: "/health", MaxConns: 390, Protocol: "h1", ColdStartS: 3, ColdPerS: 11}},
	}
}
