// Package fleettest tests a fleet of real processes on loopback ports: nodes,
// stand-ins and callers. It has tests only.
package fleettest
