// Command standin holds the stand-ins of the platform, the endpoints and the
// callers.
package main

func main() {}
