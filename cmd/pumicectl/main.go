// Command pumicectl is the operators' tool.
package main

func main() {}
