/**
 * Operators' commands. They need the platform and the origin, no running wisteriapost
 * process.
 */
package org.wisteriapost.operator;
