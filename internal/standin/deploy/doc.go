// Package deploy runs a whole deployment on one machine as separate processes on loopback:
// the platform stand-in, the plan's services with three targets each, and the nodes. A Plan
// holds the sizes, limits and delays of a deployment; NewPlan returns those of the users'
// deployments. A Deployment is a Plan with ports, keys and files.
package deploy
