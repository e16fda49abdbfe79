package model

// Resources is an amount of each kind of worker capacity, such as a demand, a
// limit or a usage.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`    // thousandths of a core
	MemoryMB     int64 `json:"memory_mb,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty"`        // concurrently running tasks
	Connections  int64 `json:"connections,omitempty"`  // open connections
}

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r-o. Components may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Scale returns r with each component multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Max returns the larger of r and o in each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// Min returns the smaller of r and o in each component.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
		Connections:  min(r.Connections, o.Connections),
	}
}

// Div returns r with each component divided by n and rounded down.
func (r Resources) Div(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU / n,
		MemoryMB:     r.MemoryMB / n,
		Accelerators: r.Accelerators / n,
		Slots:        r.Slots / n,
		Connections:  r.Connections / n,
	}
}

// Fits reports whether r is at most free in each component.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}
