/**
 * A bundle's way from a file to being in force: lint, propose, approve, roll, status.
 */
package org.wisteriapost.operator.bundle;
