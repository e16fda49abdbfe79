// Package placement chooses workers for tasks. A Cache holds the workers of one data
// centre with the resources that their tasks reserve or use, and the quotas of the
// teams. The package is pure: it reads no clock, and its choices depend only on earlier
// calls. A Cache is not safe for concurrent use.
package placement
