// Command pumicebench runs experiments.
package main

func main() {}
