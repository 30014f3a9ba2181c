// Package fleettest tests a fleet of processes on loopback ports: nodes, load generators and the
// stand-ins for the platform, engines and services. It contains tests only.
package fleettest
