// Command pumiceshelf is the router.
package main

func main() {}
